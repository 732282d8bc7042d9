Feature: Every caller gets the whole answer to its own request

  Scenario: An engine is killed in the middle of answers
    Given a data centre with 2 engines, 1 services and 2 hosts
    When "a" asks "host-0" for 200 tokens
    And "b" asks "host-1" for 200 tokens
    And "c" asks "host-0" for 200 tokens
    And 0.4 seconds pass
    And process "engine-0" is killed
    Then every answer is whole and its own
