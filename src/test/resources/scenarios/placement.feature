Feature: Placement of models
  What is declared is brought about while callers are answered, and only the holder of the lease is
  obeyed.

  Scenario: A new version is rolled over all replicas while callers are answered
    Given a fleet of 2 routers and 4 engines that check tokens, 3 of them with "gauge-notes-1"
    When callers ask all the time
    And "gauge-notes-2" is published
    Then 3 engines serve "gauge-notes-2" and 0 serve "gauge-notes-1" within 90 seconds
    And at least 2 engines served at every moment
    And every caller got a whole answer
    And no order cut an answer off
    And the agents' orders came one load time apart

  Scenario: A killed replica is made good on a spare
    Given a fleet of 2 routers and 4 engines that check tokens, 3 of them with "gauge-notes-1"
    When engine-1 is lost with its agent
    Then 3 engines serve "gauge-notes-1" and 0 serve "gauge-notes-2" within 90 seconds
    And engine-4 has carried out 1 order

  Scenario Outline: A holder of the lease is frozen and wakes up when another holds it
    Given a fleet of 2 routers and 4 engines that <check> tokens, 3 of them with "gauge-notes-1"
    When the holder of the lease for placement is frozen until another holds it
    And "gauge-notes-2" is published
    Then 3 engines serve "gauge-notes-2" and 1 serve "gauge-notes-1" within 90 seconds
    When the frozen holder wakes up
    And its order to load "gauge-notes-1" reaches every agent late
    Then every agent has refused it
    And 4 engines serve "gauge-notes-2" and 0 serve "gauge-notes-1" within 60 seconds
    And no engine carried out an older token after a newer one

    Examples:
      | check  |
      | check  |
      | ignore |

  Scenario: An order of a former holder comes before any of the new one
    Given a fleet of 2 routers and 4 engines that ignore tokens, 3 of them with "gauge-notes-1"
    When the holder of the lease for placement is frozen until another holds it
    And its order to load "gauge-notes-0" reaches every agent late
    Then every agent has refused it
    And 3 engines serve "gauge-notes-1" and 0 serve "gauge-notes-0" within 1 seconds
