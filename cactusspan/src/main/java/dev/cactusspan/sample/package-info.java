/** Steps of samples, their ledger and their deliveries. */
package dev.cactusspan.sample;
