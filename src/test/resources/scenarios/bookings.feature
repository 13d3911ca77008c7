Feature: At most once
  What may not be repeated runs at most once, and what is told as not run was not run.

  Background:
    Given a fleet of 2 routers, 0 engines and 2 services

  Scenario: The agent is killed while the service runs a booking
    When service calls take 1500 ms after their effect
    And a driver books a slot with a new key through router 1
    And a service has begun to run the booking
    And the agent of the service that runs it is killed
    Then the outcome that the driver is told is "unknown"
    When the driver books again with the same key through router 2
    Then the outcome that the driver is told is "unknown"
    And the booking ran 1 time

  Scenario: The log is down
    When the log is down
    And a driver books a slot with a new key through router 1
    Then the outcome that the driver is told is "not_run"
    And the driver is told at once, and when to come back
    And the booking ran 0 times

  Scenario: Owner-bound keys while the log is down
    When the log is down
    And the driver asks router 1 for an owner-bound key and books with it
    Then the booking is confirmed
    When the driver books again with the same key through router 2
    Then the booking is confirmed
    And both answers are the same
    And the booking ran 1 time
