Feature: An accepted configuration is in force everywhere within seconds and never reverts

  Scenario: A change is in force on every host
    Given 3 hosts that follow the log
    When operator "ana" drains "host-0" through "host-0"
    Then the change of "ana" is accepted
    And every host has the newest accepted revision within 5 seconds

  Scenario: The log loses the answers of appends
    Given 2 hosts that follow the log
    When the log loses the next 2 answers
    And operator "ana" drains "host-0" through "host-0"
    Then the change of "ana" is accepted
    And every host has the newest accepted revision within 5 seconds
    And "host-0" was drained once

  Scenario: Two operators race from the same revision
    Given 2 hosts that follow the log
    When operators "ana" and "ben" apply jamiat through "host-0" and "host-1" at once
    Then one of "ana" and "ben" is accepted and the other told who won
    And every host has the newest accepted revision within 5 seconds

  Scenario: The platform is away
    Given 2 hosts that follow the log
    When operator "ana" drains "host-0" through "host-0"
    And the log is away
    And operator "ben" drains "host-1" through "host-1"
    Then the change of "ben" is refused without effect
    And every host has the newest accepted revision within 5 seconds
    When the log is back
    And operator "cem" drains "host-1" through "host-1" when it can
    Then the change of "cem" is accepted
    And every host has the newest accepted revision within 5 seconds

  Scenario: The log falls silent in the middle of a change
    Given 2 hosts that follow the log
    When process "log" is paused
    And operator "ana" drains "host-0" through "host-0"
    Then the outcome of the change of "ana" is unknown
    When process "log" is resumed
    And "ana" sends the change again through "host-1" when it can
    Then the change of "ana" is accepted
    And every host has the newest accepted revision within 5 seconds
    And "host-0" was drained once

  Scenario: A host starts after the changes have expired
    Given 2 hosts that follow a log which keeps records for 4 seconds
    When operator "ana" drains "host-0" through "host-0"
    And 6 seconds pass
    And host "host-1" is killed and started
    Then every host has the newest accepted revision within 5 seconds
    And "host-1" has nothing in force that is older

  Scenario: A host starts while the platform is away
    Given 2 hosts that follow the log
    When operator "ana" drains "host-0" through "host-0"
    And the log is away
    And host "host-1" is killed and started
    Then "host-1" has nothing in force that is older
    And "host-1" refuses a caller as not run and says when to come back
    When the log is back
    Then every host has the newest accepted revision within 5 seconds

  Scenario: A host starts while the platform is away and takes the configuration from a peer
    Given 2 linked hosts that follow the log
    When operator "ana" drains "host-0" through "host-0"
    And the log is away
    And host "host-1" is killed and started
    Then every host has the newest accepted revision within 5 seconds
    When the log is back
    And operator "ben" drains "host-1" through "host-1" when it can
    Then the change of "ben" is accepted
    And every host has the newest accepted revision within 5 seconds

  Scenario: A host is told to stop while operators wait
    Given 1 hosts that follow the log
    When "ana" watches "host-0"
    And process "log" is paused
    And operator "ben" drains "host-0" through "host-0" in the background
    And 1 seconds pass
    And host "host-0" is told to stop
    Then host "host-0" ends within 5 seconds
    And the outcome of the change of "ben" is unknown
