Feature: A request that may not be repeated runs at most once

  Scenario: The first host is killed before it answers
    Given a data centre with a log, 2 services and 3 hosts
    And every service takes 2 seconds
    When "first" acknowledges under key "alarm-1" on "host-0"
    And 0.7 seconds pass
    And process "host-0" is killed
    And "second" acknowledges under key "alarm-1" on "host-1"
    Then "second" is refused as duplicate with verdict "may-have-run"
    And the call under key "alarm-1" ran once
    When "third" acknowledges an unknown class under key "alarm-1" on "host-2"
    Then "third" gets no verdict "not-run"

  Scenario: The first host is paused and goes on later
    Given a data centre with a log, 2 services and 3 hosts
    When process "host-0" is paused
    And "first" acknowledges under key "alarm-2" on "host-0"
    And "second" acknowledges under key "alarm-2" on "host-1"
    Then "second" is answered
    When 1.5 seconds pass
    And process "host-0" is resumed
    Then "first" gets no verdict "not-run"
    And "host-0" comes to refuse key "alarm-2" as duplicate with verdict "completed"
    And the call under key "alarm-2" ran once

  Scenario: The log loses the answers of the claims
    Given a data centre with a log, 2 services and 3 hosts
    When the log has the faults {"lose_answers": 2}
    And "first" acknowledges under key "alarm-3" on "host-0"
    And "second" acknowledges under key "alarm-3" on "host-1"
    Then one of "first" and "second" is answered
    And the call under key "alarm-3" ran once

  Scenario: The log is slow and the first host is killed
    Given a data centre with a log, 2 services and 3 hosts
    When the log has the faults {"delay_s": 0.4}
    And "first" acknowledges under key "alarm-4" on "host-0"
    And 0.6 seconds pass
    And process "host-0" is killed
    And "second" acknowledges under key "alarm-4" on "host-1"
    Then the call under key "alarm-4" ran at most once

  Scenario: A plain key while the log is away
    Given a data centre with a log, 2 services and 3 hosts
    When the log has the faults {"away": true}
    And 4 seconds pass
    And "first" acknowledges under key "alarm-5" on "host-0"
    Then "first" is refused as platform-away with verdict "may-have-run"
    And "first" is told when to come back
    And the call under key "alarm-5" did not run

  Scenario: The log is away after the first host ran the call and was killed
    Given a data centre with a log, 2 services and 3 hosts
    When "first" acknowledges under key "alarm-6" on "host-0"
    Then "first" is answered
    When the log has the faults {"away": true}
    And process "host-0" is killed
    And 4 seconds pass
    And "second" acknowledges under key "alarm-6" on "host-1"
    Then "second" gets no verdict "not-run"
    And the call under key "alarm-6" ran once

  Scenario: Tickets work while the log is away
    Given a data centre with a log, 2 services and 3 hosts
    When the log has the faults {"away": true}
    And "host-0" issues ticket "T"
    And "first" acknowledges under ticket "T" on "host-1"
    Then "first" is answered
    When "second" acknowledges under ticket "T" on "host-2"
    Then "second" is refused as duplicate with verdict "may-have-run"
    And the call under ticket "T" ran once

  Scenario: The issuer of a ticket is paused during an outage of the log
    Given a data centre with a log, 2 services and 3 hosts
    When the log has the faults {"away": true}
    And "host-0" issues ticket "T"
    And process "host-0" is paused
    And "first" acknowledges under ticket "T" on "host-0"
    And "second" acknowledges under ticket "T" on "host-1"
    Then "second" is refused as duplicate with verdict "may-have-run"
    When process "host-0" is resumed
    Then the call under ticket "T" ran at most once

  Scenario: The issuer of a ticket is killed after it ran the call
    Given a data centre with a log, 2 services and 3 hosts
    When "host-0" issues ticket "T"
    And "first" acknowledges under ticket "T" on "host-0"
    Then "first" is answered
    When process "host-0" is killed
    And "second" acknowledges under ticket "T" on "host-1"
    Then "second" is refused as duplicate with verdict "may-have-run"
    And the call under ticket "T" ran once

  Scenario: A host that stops does not say that a key was not run
    Given a data centre with a log, 2 services and 2 hosts
    And every service takes 4 seconds
    When "first" acknowledges under key "alarm-7" on "host-0"
    And "third" acknowledges under key "alarm-8" on "host-1"
    And 0.5 seconds pass
    And process "host-1" is told to stop
    And 2.5 seconds pass
    And "second" acknowledges under key "alarm-7" on "host-1"
    Then "second" is refused as shutting-down with verdict "may-have-run"
    And "host-1" gives no ticket
    And the call under key "alarm-7" ran once
