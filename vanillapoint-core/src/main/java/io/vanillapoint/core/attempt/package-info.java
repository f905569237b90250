/** What follows when an attempt to run a request has ended. */
package io.vanillapoint.core.attempt;
