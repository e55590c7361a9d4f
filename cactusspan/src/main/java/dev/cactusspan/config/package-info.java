/** Environment documents: reading, checking, comparing, storing and looking up. */
package dev.cactusspan.config;
