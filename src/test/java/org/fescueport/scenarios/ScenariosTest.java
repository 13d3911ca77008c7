package org.fescueport.scenarios;

import org.junit.platform.suite.api.ConfigurationParameter;
import org.junit.platform.suite.api.IncludeEngines;
import org.junit.platform.suite.api.SelectClasspathResource;
import org.junit.platform.suite.api.Suite;

/** Runs the scenarios against real processes, but for those that KNOWN-RED.txt lists. */
@Suite
@IncludeEngines("cucumber")
@SelectClasspathResource("scenarios")
@ConfigurationParameter(key = "cucumber.glue", value = "org.fescueport.scenarios")
@ConfigurationParameter(key = "cucumber.filter.tags", value = "not @known-red")
@ConfigurationParameter(key = "cucumber.plugin", value = "pretty")
@ConfigurationParameter(key = "cucumber.publish.quiet", value = "true")
class ScenariosTest {}
