/** Batches of trainers: their durable records, the runs of their items, and their results. */
package dev.cactusspan.batch;
