Feature: Certificates
  Processes of the fleet talk only to processes of the fleet, and renew their keys while they run.

  Scenario: Certificates are renewed while a fleet runs, and a stranger is refused
    Given a fleet of 2 routers and 2 engines with TLS
    When a caller asks for 600 tokens through router 1
    And 20 tokens have arrived
    And all certificates are renewed
    Then the agent of engine-1 shows its new certificate
    And the answer is whole
    When a caller asks for 40 tokens through router 2
    Then the answer is whole
    And a stranger is refused by the agent of engine-1 and counted
