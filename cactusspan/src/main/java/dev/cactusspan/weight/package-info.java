/** Desired weight versions and the version labels of responses. */
package dev.cactusspan.weight;
