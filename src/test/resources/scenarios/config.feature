Feature: Configuration in force
  A change that was accepted is in force on every router within seconds, also without the log.

  Background:
    Given a fleet of 4 routers and 3 engines with proxies before the agents

  Scenario: The log is cut off from half of the routers
    When the log is cut off from every second router
    And "gauge-notes-2" is published and read by one node
    Then it is in force on every router within 6 seconds and stays so

  Scenario: The log goes down as soon as one node has read the change
    When "gauge-notes-2" is published and read by one node
    And the log is down
    Then it is in force on every router within 6 seconds and stays so
