/** What operators and upstreams publish, decoded: configuration, replicas, evacuated zones. */
package io.vanillapoint.core.published;
