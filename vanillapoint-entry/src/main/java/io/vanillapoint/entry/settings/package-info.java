/** Settings of an entry VM. */
package io.vanillapoint.entry.settings;
