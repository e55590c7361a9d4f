/** Interface of a key-value store with ranges, transactions, leases and watches, and mirrors. */
package dev.cactusspan.store;
