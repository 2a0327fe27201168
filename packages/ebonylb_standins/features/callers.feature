@cluster
Feature: Callers get the complete response to their own request, or a refusal that says how to proceed

  Scenario: A booking with a key runs once and is returned to every repeated request
    Given the desk has booked slot "gate-1" with the key "k-gate-1"
    When the desk sends slot "gate-1" with the key "k-gate-1" through each entry VM at once
    Then every response is the first booking
    And slot "gate-1" ran 1 time

  Scenario: An issued key works while the platform is down
    Given the desk holds a key issued by an entry VM
    And the platform is down
    When the desk sends slot "gate-2" with its issued key
    Then the response is a booking
    And slot "gate-2" ran 1 time

  Scenario Outline: A refusal states whether the work ran and when to retry
    Given <cause>
    When the desk sends <request>
    Then the status is <status> and the outcome is "<outcome>"
    And the refusal names <time> to retry

    Examples:
      | cause                               | request                         | status | outcome      | time    |
      | nothing is wrong                    | a booking of an unknown service | 404    | not_run      | no time |
      | nothing is wrong                    | another booking with a used key | 422    | not_run      | no time |
      | the booking desk has been drained   | a booking                       | 503    | not_run      | a time  |
      | the booking desk loses its response | a booking                       | 502    | may_have_run | no time |
      | nothing is wrong                    | a generation that crashes       | 500    | given_up     | no time |
      | every engine breaks its streams     | a generation                    | 502    | may_have_run | a time  |
      | nothing is wrong                    | a generation that is too long   | 504    | may_have_run | a time  |
