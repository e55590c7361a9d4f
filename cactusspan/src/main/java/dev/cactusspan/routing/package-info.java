/** Target selection, retry budgets and back-off. */
package dev.cactusspan.routing;
