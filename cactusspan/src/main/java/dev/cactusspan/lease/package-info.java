/** Duty leases in the key-value service, with fencing numbers. */
package dev.cactusspan.lease;
