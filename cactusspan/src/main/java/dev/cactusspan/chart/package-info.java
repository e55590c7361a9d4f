/** State charts that are read from resource files and interpreted at run time. */
package dev.cactusspan.chart;
