/** State of the replicas as observed by this VM, and replica selection for requests. */
package io.vanillapoint.core.upstream;
