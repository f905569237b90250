/** Helpers shared by HTTP clients. */
package io.vanillapoint.entry.http;
