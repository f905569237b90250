/** Entry VM for platforms that publish no list of VMs. */
package io.vanillapoint.entry;
