Feature: A deployment is checked against the weight store, within the store's rate limit

  Scenario: A deployment names a version that was never published
    Given a host and a weight store with "cellar-lm@1" and its adapters "fes, tangier, marrakech"
    When operator "ana" applies "meskel"
    Then the change of "ana" is refused because of "no version 1 of model field-lm"

  Scenario: A deployment names an adapter that was never published
    Given a host and a weight store with "cellar-lm@1" and its adapters "fes, tangier"
    When operator "ana" applies "jamiat"
    Then the change of "ana" is refused because of "no adapter marrakech of cellar-lm@1"

  Scenario: Many changes of published models cost one lookup
    Given a host and a weight store with "cellar-lm@1" and its adapters "fes, tangier, marrakech"
    When operator "ana" applies "jamiat"
    And operator "ben" applies "jamiat"
    And operator "cem" applies "jamiat"
    Then the change of "cem" is accepted
    And the weight store was asked 1 times and refused none

  Scenario: The weight store is away
    Given a host and a weight store with "cellar-lm@1" and its adapters "fes, tangier, marrakech"
    When the weight store is away
    And operator "ana" applies "jamiat"
    Then the change of "ana" is accepted
