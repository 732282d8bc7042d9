Feature: Further failures at the backend servers, run outside CI

  Scenario Outline: A refusal says truly whether an acknowledgement ran
    Given a data centre with 1 engines, 1 services and 1 hosts
    And a service that <behaviour> in place of the services
    When an alarm is acknowledged at "host-0" within <deadline> seconds
    Then it is refused with verdict "<verdict>" and the service saw <calls> calls

    Examples:
      | behaviour                    | deadline | verdict      | calls |
      | lets connections hang        | 5        | not-run      | 0     |
      | refuses with 429             | 5        | not-run      | 1     |
      | breaks off in the head       | 5        | may-have-run | 1     |
      | cuts the answer              | 5        | may-have-run | 1     |
      | fails with a date to retry   | 5        | may-have-run | 1     |
      | answers in no HTTP           | 5        | may-have-run | 1     |
      | never answers                | 1        | may-have-run | 1     |

  Scenario Outline: An engine that sends nonsense fails its attempt only
    Given a data centre with 1 engines, 1 services and 1 hosts
    And an engine that <behaviour> beside the engines
    When 6 callers ask "host-0" for 20 tokens each
    Then every answer is whole and its own

    Examples:
      | behaviour                       |
      | sends frames that are not JSON  |
      | sends frames that are lists     |
      | sends deeply nested frames      |
      | sends a huge frame              |
      | sends a total that is no number |
      | answers in no HTTP              |
