@cluster
Feature: Operators' changes take effect on the whole system or not at all

  Scenario: A sheet with five mistakes is refused with each line and changes nothing
    When an operator applies the sheet with five mistakes
    Then the mistakes on the lines 3, 6, 12, 13 and 19 are named
    And the revision is the same as before on every entry VM

  Scenario: Of two operators at once, one wins and the other sees the difference
    When two operators apply different sheets made from the same revision
    Then one sheet is in force on every entry VM
    And the other operator is told the current revision and the difference

  Scenario: A drained backend server gets no new work
    Given an operator has drained an engine
    When 12 generations are sent through each entry VM
    Then all of them succeed
    And the drained engine got none of them
    And the audit trail names the operator and the drained engine

  Scenario: An entry VM shuts down without breaking a stream
    Given 4 streams run through an entry VM
    When that entry VM gets SIGTERM
    Then all 4 streams are complete
    And its exit code is 0
