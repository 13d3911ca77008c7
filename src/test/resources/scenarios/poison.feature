Feature: Requests that kill backend servers

  Scenario: One request kills each engine that runs it and is sent again through every router
    Given a fleet of 2 routers, 4 engines as processes and 0 services
    And every engine dies of the word "toxin"
    When a caller sends "What of the toxin" 6 times through the routers in turn
    Then at most 2 engines are dead
    And the last sending was refused as not run
    When a caller asks for 20 tokens through router 1
    Then the answer is whole
