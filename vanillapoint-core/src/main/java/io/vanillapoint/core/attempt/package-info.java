/** Retry decisions after a failed attempt of a request. */
package io.vanillapoint.core.attempt;
