/** Processing of callers' requests, from the request headers to the end of the response. */
package io.vanillapoint.entry.traffic;
