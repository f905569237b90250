/** An entry VM for platforms that publish no list of the VMs. */
package io.vanillapoint.entry;
