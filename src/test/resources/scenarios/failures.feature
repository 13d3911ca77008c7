Feature: Whole answers under failure
  Whatever fails on the way, the caller receives the whole answer to its own request.

  Scenario: An engine is killed in the middle of an answer
    Given a fleet of 2 routers, 3 engines as processes and 0 services
    When a caller asks for 300 tokens through router 1
    And 50 tokens have arrived
    And the engine that answers is killed
    Then the answer is whole

  Scenario: An agent is killed in the middle of an answer
    Given a fleet of 2 routers, 3 engines and 0 services
    When a caller asks for 300 tokens through router 1
    And 50 tokens have arrived
    And the agent of that engine is killed
    Then the answer is whole

  Scenario: An agent is frozen in the middle of an answer and wakes up again
    Given a fleet of 2 routers, 3 engines and 0 services
    When a caller asks for 300 tokens through router 1
    And 50 tokens have arrived
    And the agent of that engine is frozen for 2 seconds
    Then the answer is whole

  Scenario: A router is killed in the middle of an answer
    Given a fleet of 2 routers, 3 engines and 0 services
    When a caller asks for 300 tokens through router 1
    And 50 tokens have arrived
    And router 1 is killed
    And the caller goes on at router 2 from its last event
    Then the answer is whole

  Scenario: Connections are cut in the middle of answers
    Given a fleet of 2 routers and 3 engines with proxies before the agents
    When 6 callers ask for 300 tokens through router 1
    And 50 tokens have arrived
    And the connections between routers and agents are cut
    Then all answers are whole
