Feature: Verdicts, retries, silence, crashes and drains at the backend servers

  Scenario Outline: A refusal says truly whether an acknowledgement ran
    Given a data centre with 1 engines, 1 services and 1 hosts
    And a service that <behaviour> in place of the services
    When an alarm is acknowledged at "host-0" within <deadline> seconds
    Then it is refused with verdict "<verdict>" and the service saw <calls> calls

    Examples:
      | behaviour                    | deadline | verdict      | calls |
      | refuses connections          | 5        | not-run      | 0     |
      | lets connections hang        | 0.5      | not-run      | 0     |
      | breaks off without reading   | 5        | may-have-run | 0     |
      | breaks off after the request | 5        | may-have-run | 1     |
      | refuses before it starts     | 5        | not-run      | 1     |
      | fails with 500               | 5        | may-have-run | 1     |
      | resets an unframed answer    | 5        | may-have-run | 1     |
      | cuts an unframed answer      | 5        | may-have-run | 1     |
      | ends within a text answer    | 5        | may-have-run | 1     |

  Scenario: A service whose answer ends with its connection, and that still runs, has answered
    Given a data centre with 1 engines, 1 services and 1 hosts
    And a service that ends a text answer in place of the services
    When an alarm is acknowledged at "host-0" within 5 seconds
    Then its answer is "acknowledged"

  Scenario Outline: An engine that sends nonsense fails its attempt only
    Given a data centre with 1 engines, 1 services and 1 hosts
    And an engine that <behaviour> beside the engines
    When 6 callers ask "host-0" for 20 tokens each
    Then every answer is whole and its own

    Examples:
      | behaviour                       |
      | sends frames of wrong types     |
      | sends frames of another attempt |

  Scenario: Streams go on elsewhere when their connections go silent
    Given a data centre with 2 engines, 1 services and 1 hosts
    And engine "engine-0" goes silent after 30 tokens
    When 6 callers ask "host-0" for 60 tokens each
    Then every answer is whole and its own
    And every answer took less than 5 seconds

  Scenario: Streams go on elsewhere when their engine freezes
    Given a data centre with 2 engines, 1 services and 1 hosts
    When 6 callers ask "host-0" for 200 tokens each
    And 0.4 seconds pass
    And process "engine-0" is paused
    Then every answer is whole and its own
    And every answer took less than 6 seconds

  Scenario: A version is not spliced into the answer of another
    Given a data centre with 1 engines, 1 services and 1 hosts
    And an engine of version 2 beside the engines
    And engine "engine-0" breaks off after 10 tokens
    When 6 callers ask "host-0" for 20 tokens each
    Then every answer is of one version, whole or ended by a refusal

  Scenario: A request that crashes engines is refused before it has crashed four
    Given a data centre with 5 engines, 1 services and 3 hosts
    And every engine crashes on "poison"
    And the hosts have found each other
    When 12 callers ask every host for 150 tokens each
    And 0.3 seconds pass
    And a request with "poison" is sent 4 times to every host at once
    Then at most 3 engines have ended
    And every answer is whole and its own
    And "poison" is refused as "quarantined" at every host

  Scenario: A leaving engine finishes its work and gets no more
    Given a data centre with 2 engines, 1 services and 2 hosts
    When 4 callers ask every host for 800 tokens each
    And 0.3 seconds pass
    And engine "engine-0" is listed as leaving
    And 3 seconds pass
    And 10 callers ask every host for 5 tokens each
    Then every answer is whole and its own
    And "engine-0" started nothing more than 3 seconds after it was listed as leaving

  Scenario: A caller that goes away has its attempt ended
    Given a data centre with 1 engines, 1 services and 1 hosts
    When a caller of "host-0" that asks for 800 tokens goes away after 0.5 seconds
    Then "engine-0" ends the attempt before it has finished
