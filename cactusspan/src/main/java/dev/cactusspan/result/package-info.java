/** Results, failures and the closed list of error kinds. */
package dev.cactusspan.result;
