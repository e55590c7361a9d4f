/** Benchmarks of the classes that make decisions, and experiments on policies. */
package dev.cactusspan.benchmark;
