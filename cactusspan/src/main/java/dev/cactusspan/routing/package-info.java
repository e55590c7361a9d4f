/** Choice of a target for a request, retry budgets and back-off. */
package dev.cactusspan.routing;
