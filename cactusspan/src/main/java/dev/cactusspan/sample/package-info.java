/** Training steps: their samples, their ledger and their deliveries. */
package dev.cactusspan.sample;
