Feature: Keys of tickets and tokens
  The key that signs is changed through the configuration, while everything runs.

  Scenario: The signing key is changed, and what the old key signed is accepted for a while
    Given a fleet of 2 routers, 1 engine and 2 services with a file of keys
    When a caller asks for 40 tokens through router 1
    Then the answer is whole
    When the driver asks router 1 for an owner-bound key
    And the driver asks router 1 for one more
    And key 2 is added to the file of keys
    And it is published that key 2 signs and key 1 is accepted for 15 seconds
    And the driver books with the first key through router 2
    Then the booking is confirmed
    And the caller returns through router 2 to the same replica, its prompt cached
    When 15 seconds pass
    And the driver books with the second key through router 2
    Then the booking is refused as invalid
    When the driver asks router 2 for an owner-bound key and books with it
    Then the booking is confirmed
    And the booking ran 2 times
