/** VMs that are live or leaving, and who connects to whom. */
package dev.cactusspan.membership;
