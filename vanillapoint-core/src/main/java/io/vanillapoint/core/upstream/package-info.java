/** Replicas as this VM knows them, and the choice of one for a request. */
package io.vanillapoint.core.upstream;
