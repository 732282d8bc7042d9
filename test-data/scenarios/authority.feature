Feature: One authority over the engines, and planned changes that cut nothing off

  Scenario Outline: A change of version and one of adapters with long answers in flight
    Given a governed data centre with 2 engines and 2 hosts, fencing checked: <checks>
    When answers of 300 tokens keep running through every host
    Then every engine comes to run version "1"
    And no answer was cut off
    And no order conflicted, came late or cut a request off

    Examples:
      | checks |
      | no     |

  Scenario Outline: Authority is lost or its orders fail
    Given a governed data centre with 2 engines and 2 hosts, fencing checked: <checks>
    When answers of 50 tokens keep running through every host
    Then every engine comes to run version "1"
    When every engine is replaced
    And <fault>
    Then every engine comes to run version "1"
    And no order conflicted, came late or cut a request off

    Examples:
      | checks | fault                                               |
      | no     | the holder and its sender are paused past the lease |
