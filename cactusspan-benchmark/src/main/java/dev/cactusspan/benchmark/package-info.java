/** Benchmarks of the decision classes. */
package dev.cactusspan.benchmark;
