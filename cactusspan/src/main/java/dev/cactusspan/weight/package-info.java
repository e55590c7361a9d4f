/** Weight versions: the wanted version and the label of an answer. */
package dev.cactusspan.weight;
