/** An HTTP client built on Undertow's client. */
package dev.cactusspan.http;
