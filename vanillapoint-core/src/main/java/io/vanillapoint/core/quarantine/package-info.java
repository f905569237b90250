/** Prompt parts that crash the engines that process them, found and withheld by all VMs. */
package io.vanillapoint.core.quarantine;
