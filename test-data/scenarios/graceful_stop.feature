Feature: A planned stop of an entry host cuts off no request

  Scenario: A host is told to stop with long answers in flight
    Given a data centre with 2 engines, 1 services and 2 hosts
    When "a" asks "host-0" for 900 tokens
    And "b" asks "host-0" for 600 tokens
    And 0.3 seconds pass
    And process "host-0" is told to stop
    And "c" asks "host-0" for 50 tokens
    Then every answer is whole and its own
    And process "host-0" ends by itself

  Scenario: A host that is told to stop again and again
    Given a data centre with 1 engines, 1 services and 1 hosts
    When "a" asks "host-0" for 700 tokens
    And 0.3 seconds pass
    And process "host-0" is told to stop
    And 0.2 seconds pass
    And process "host-0" is told to stop
    Then every answer is whole and its own
    And process "host-0" ends by itself

  Scenario: A stopping host refuses what comes after its notice, and says that it did not run
    Given a data centre with 1 engines, 1 services and 1 hosts
    When "a" asks "host-0" for 900 tokens
    And process "host-0" is told to stop
    And 2.5 seconds pass
    Then a lookup at "host-0" is refused as "shutting-down" with verdict "not-run"
    And every answer is whole and its own
    And process "host-0" ends by itself
