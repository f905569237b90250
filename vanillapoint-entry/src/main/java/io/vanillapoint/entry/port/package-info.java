/** What an entry VM needs from a platform. */
package io.vanillapoint.entry.port;
