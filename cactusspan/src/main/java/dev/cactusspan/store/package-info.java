/** The key-value service with ranges, transactions, leases and watches, and mirrors of it. */
package dev.cactusspan.store;
