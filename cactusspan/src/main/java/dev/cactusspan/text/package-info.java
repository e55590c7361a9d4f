/** JSON, JSON Schema validation, server-sent events and compression. */
package dev.cactusspan.text;
