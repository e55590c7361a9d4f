/** Live and leaving VMs, and the selection of links between them. */
package dev.cactusspan.membership;
