@cluster
Feature: Trainers get each sample exactly once

  Scenario: A trainer reconnects with its bitmap
    Given a trainer has 3 of the 12 samples of a step when its connection ends
    When it reconnects to another entry VM with its bitmap
    Then it gets the other 9 samples, each once
    And every sample names the weight versions that produced it

  Scenario: A trainer's token reaches only its own steps
    When a trainer opens a step of another trainer
    Then the status is 403 and the outcome is "not_run"
