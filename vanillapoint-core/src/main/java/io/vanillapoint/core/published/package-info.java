/** Decoded publications of operators and upstreams: configuration, replicas, evacuated zones. */
package io.vanillapoint.core.published;
