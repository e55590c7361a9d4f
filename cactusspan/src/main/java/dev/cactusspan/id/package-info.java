/** Value types for identifiers and versions. */
package dev.cactusspan.id;
