/** Parsing, validation, comparison, storage and lookup of environment documents. */
package dev.cactusspan.config;
