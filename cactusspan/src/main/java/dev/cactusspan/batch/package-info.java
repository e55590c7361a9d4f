/** Batches of trainers: their durable records, the execution of their items, and their results. */
package dev.cactusspan.batch;
