/** Customer rate limiting over all VMs without a published list of VMs. */
package io.vanillapoint.core.grant;
