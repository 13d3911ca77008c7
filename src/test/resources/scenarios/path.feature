Feature: The whole path
  A request goes from its caller through a router and an agent to a backend server and back.

  Scenario: A chat and its return
    Given a fleet of 2 routers, 3 engines and 0 services
    When a caller asks for 40 tokens through router 1
    Then the answer is whole
    And the caller returns through router 2 to the same replica, its prompt cached

  Scenario: A booking that is sent again 2 seconds later runs once
    Given a fleet of 2 routers, 0 engines and 2 services
    When a driver books a slot with a new key through router 1
    Then the booking is confirmed
    When 2 seconds pass
    And the driver books again with the same key through router 2
    Then the booking is confirmed
    And both answers are the same
    And the booking ran 1 time

  Scenario: A booking that is sent again at once gets the first answer
    Given a fleet of 2 routers, 0 engines and 2 services
    When a driver books a slot with a new key through router 1
    Then the booking is confirmed
    When the driver books again with the same key through router 2
    Then the booking is confirmed
    And both answers are the same
    And the booking ran 1 time
