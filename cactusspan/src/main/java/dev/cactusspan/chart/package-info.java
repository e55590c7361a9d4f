/** State charts that are read from resource files and interpreted. */
package dev.cactusspan.chart;
