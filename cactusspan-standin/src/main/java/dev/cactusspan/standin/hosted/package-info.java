/** Emulates the users' hosting platform: store, targets, usage interface and callers. */
package dev.cactusspan.standin.hosted;
