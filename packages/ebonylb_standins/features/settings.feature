Feature: Settings files are validated completely

  Scenario: An unknown key is refused with its line
    Given a settings file with the unknown key "heartbeet_ms" on line 2
    When the settings are loaded
    Then they are refused with "line 2: heartbeet_ms: unknown key"
