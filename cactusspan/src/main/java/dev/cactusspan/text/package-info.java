/** Reading of JSON with comments, checked against a schema. */
package dev.cactusspan.text;
