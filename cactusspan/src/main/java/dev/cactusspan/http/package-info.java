/** An HTTP client on Undertow's client. */
package dev.cactusspan.http;
